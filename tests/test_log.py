"""Log lines and metrics: their form, and what bounds them."""

from __future__ import annotations

from hollowhitch import log
from hollowhitch.metrics import LABEL_VALUES_MOST, Counter, Histogram, Metrics


def test_a_line_carries_both_clocks_and_quotes_what_peers_sent(capsys):
    log.configure()
    log.event("log test", "closed", engine="s-1", error='read: "x"\n')
    line = capsys.readouterr().err
    assert line.count("\n") == 1
    assert line.startswith("at=") and " up=" in line
    assert 'topic="log test" event=closed engine=s-1 error="read: \\"x\\"\\n"' in line


def test_a_topic_has_a_bounded_rate_and_tells_what_it_left_out():
    limit = log.RateLimit()
    admitted = [limit.admit("t", 0.0) for _ in range(30)]
    assert admitted.count(0) == int(log.BURST) and admitted.count(None) == 20
    assert limit.admit("t", 10.0) == 20


def test_labels_from_peers_cannot_grow_a_counter_without_bound():
    counter = Counter("c", "label", "help")
    for i in range(LABEL_VALUES_MOST + 50):
        counter.add(str(i))
    assert len(counter.values) == LABEL_VALUES_MOST + 1 and counter.values["other"] == 50


def test_a_histogram_counts_each_value_once_and_in_its_bucket():
    histogram = Histogram("h", "help", (0.1, 1.0))
    for value in (0.05, 0.1, 0.5, 2.0):
        histogram.observe(value)
    text = "\n".join(histogram.lines())
    assert 'h_bucket{le="0.1"} 2' in text and 'h_bucket{le="1.0"} 3' in text
    assert 'h_bucket{le="+Inf"} 4' in text and "h_count 4" in text


def test_all_metrics_are_written():
    metrics = Metrics()
    metrics.answers.add("served")
    assert 'hollowhitch_answers_total{code="served"} 1' in metrics.text()
