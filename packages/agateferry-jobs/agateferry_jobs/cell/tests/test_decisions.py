"""Every decision of the leader writes a numbered line."""

import ast
import typing
from pathlib import Path

import testtools

from agateferry_jobs import cell
from agateferry_jobs.ledger import commands

COMMANDS = {command.__name__ for command in typing.get_args(commands.Command)}


def methods_of(folder):
    """Return the methods of each class in a folder, by module, class and name."""
    found = {}
    for path in sorted(folder.glob("*.py")):
        for cls in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if isinstance(cls, ast.ClassDef):
                kinds = ast.FunctionDef | ast.AsyncFunctionDef
                methods = {node.name: node for node in cls.body if isinstance(node, kinds)}
                found[(path.name, cls.name)] = methods
    return found


def called(method):
    """Return the last names of what a method calls."""
    names = set()
    for node in ast.walk(method):
        if isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute):
            names.add(node.func.attr)
    return names


def logs(method):
    """Tell whether a method writes a line itself."""
    return any(
        isinstance(node, ast.Attribute)
        and node.attr in ("info", "warning", "error")
        and isinstance(node.value, ast.Attribute)
        and node.value.attr == "_log"
        for node in ast.walk(method)
    )


def decides(method):
    """Tell whether a method makes a command of the ledger."""
    return bool(called(method) & COMMANDS)


def silent(methods):
    """Return the methods that decide and write nothing, also not in methods that they call."""
    return sorted(
        name
        for name, method in methods.items()
        if decides(method)
        and not logs(method)
        and not any(logs(methods[other]) for other in called(method) if other in methods)
    )


class DecisionTests(testtools.TestCase):
    def test_each_command_of_the_leader_has_its_line(self):
        for place, methods in methods_of(Path(cell.__file__).parent).items():
            self.assertEqual([], silent(methods), place)

    def test_all_commands_are_made_there(self):
        made = set()
        for methods in methods_of(Path(cell.__file__).parent).values():
            for method in methods.values():
                made |= called(method) & COMMANDS
        self.assertEqual(COMMANDS, made)

    def test_a_decision_without_a_line_is_found(self):
        source = "class C:\n    def f(self):\n        self.propose(c.EndRuns((), 0))\n"
        (cls,) = ast.parse(source).body
        self.assertEqual(["f"], silent({method.name: method for method in cls.body}))
