import testtools

from agateferry_core.metrics import Metrics


class MetricsTests(testtools.TestCase):
    def value(self, metrics, name, **labels):
        return metrics.registry.get_sample_value(f"agateferry_{name}", labels)

    def test_a_refusal_is_counted_by_its_reason(self):
        metrics = Metrics()
        metrics.refused("no-leader")
        metrics.refused("no-leader")
        self.assertEqual(2.0, self.value(metrics, "refusals_total", reason="no-leader"))

    def test_two_daemons_have_separate_metrics(self):
        first, second = Metrics(), Metrics()
        first.retried("silent")
        self.assertIsNone(self.value(second, "retries_total", reason="silent"))

    def test_times_are_exported_in_seconds(self):
        metrics = Metrics()
        metrics.started("urgent", 1_500)
        metrics.ended("finished", "urgent", 2_500)
        self.assertEqual(1.5, self.value(metrics, "waiting_seconds_sum", job_class="urgent"))
        self.assertEqual(2.5, self.value(metrics, "completion_seconds_sum", job_class="urgent"))

    def test_a_leader_change_sets_the_gauge(self):
        metrics = Metrics()
        metrics.leader_changed("cell", True)
        metrics.leader_changed("cell", False)
        self.assertEqual(0.0, self.value(metrics, "is_leader", log="cell"))
        self.assertEqual(2.0, self.value(metrics, "leader_changes_total", log="cell"))

    def test_the_text_format_contains_every_metric(self):
        metrics = Metrics()
        metrics.cancelled("placed")
        text = metrics.render().decode()
        self.assertIn('agateferry_cancellations_total{stage="placed"} 1.0', text)
        self.assertIn("# TYPE agateferry_late_answers_total counter", text)
