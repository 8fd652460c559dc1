"""Each command that the leader proposes comes with a numbered log event."""

import ast
import typing
from pathlib import Path

import testtools

from agateferry_jobs import cell
from agateferry_jobs.ledger import commands

COMMANDS = {command.__name__ for command in typing.get_args(commands.Command)}


def methods_of(folder):
    """Return the methods of each class in a folder, by module and class, then by name."""
    found = {}
    for path in sorted(folder.glob("*.py")):
        for cls in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if isinstance(cls, ast.ClassDef):
                kinds = ast.FunctionDef | ast.AsyncFunctionDef
                methods = {node.name: node for node in cls.body if isinstance(node, kinds)}
                found[(path.name, cls.name)] = methods
    return found


def called_names(method):
    """Return the names of the methods and attributes that a method calls, without their objects."""
    names = set()
    for node in ast.walk(method):
        if isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute):
            names.add(node.func.attr)
    return names


def logs(method):
    """Return whether a method itself logs an event."""
    return any(
        isinstance(node, ast.Attribute)
        and node.attr in ("info", "warning", "error")
        and isinstance(node.value, ast.Attribute)
        and node.value.attr == "_log"
        for node in ast.walk(method)
    )


def creates_command(method):
    """Return whether a method creates a command of the ledger."""
    return bool(called_names(method) & COMMANDS)


def unlogged(methods):
    """Return the methods that create a command, but log nothing themselves or in what they call."""
    return sorted(
        name
        for name, method in methods.items()
        if creates_command(method)
        and not logs(method)
        and not any(logs(methods[other]) for other in called_names(method) if other in methods)
    )


class DecisionTests(testtools.TestCase):
    def test_each_command_of_the_leader_is_logged(self):
        for cls, methods in methods_of(Path(cell.__file__).parent).items():
            self.assertEqual([], unlogged(methods), cls)

    def test_all_commands_are_created_in_the_cell_folder(self):
        created = set()
        for methods in methods_of(Path(cell.__file__).parent).values():
            for method in methods.values():
                created |= called_names(method) & COMMANDS
        self.assertEqual(COMMANDS, created)

    def test_a_command_that_is_not_logged_is_found(self):
        source = "class C:\n    def f(self):\n        self.propose(c.EndRuns((), 0))\n"
        (cls,) = ast.parse(source).body
        self.assertEqual(["f"], unlogged({method.name: method for method in cls.body}))
