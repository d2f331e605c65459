package io.hawthornlb.app.partition;

import io.hawthornlb.app.entry.EffectSink;
import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.job.RecordReadBack;
import io.hawthornlb.core.job.RefreshRecord;
import io.hawthornlb.core.log.LogRecord;
import io.hawthornlb.core.log.StreamName;
import io.hawthornlb.core.runonce.EntriesRecorded;
import io.hawthornlb.core.runonce.OutcomeRead;
import io.hawthornlb.core.runonce.OutcomeUnreadable;
import io.hawthornlb.core.runonce.ReadOutcome;
import io.hawthornlb.core.runonce.RunCall;
import java.util.ArrayList;
import java.util.List;

/** Performs the effects of the coordinators of a partition. Used on the decision loop. */
final class PartitionEffects {

  private final EffectSink outward;
  private final RecordReader records;
  private final CallRunner calls;

  PartitionEffects(EffectSink outward, RecordReader records, CallRunner calls) {
    this.outward = outward;
    this.records = records;
    this.calls = calls;
  }

  void perform(PartitionHost host, List<Effect> effects) {
    List<Effect> others = new ArrayList<>();
    for (Effect effect : effects) {
      if (effect instanceof RefreshRecord refresh) {
        refresh(host, refresh);
      } else if (effect instanceof ReadOutcome read) {
        readOutcome(host, read);
      } else if (effect instanceof RunCall run) {
        calls.run(run, host::on);
      } else {
        others.add(effect);
      }
    }
    outward.perform(others);
  }

  private void refresh(PartitionHost host, RefreshRecord refresh) {
    records.read(
        refresh.stream(), refresh.offset(), entry -> host.on(new RecordReadBack(entry)), () -> {});
  }

  private void readOutcome(PartitionHost host, ReadOutcome read) {
    StreamName stream = read.stream();
    long offset = read.offset();
    records.read(
        stream,
        offset,
        entry -> onOutcomeRead(host, entry),
        () -> onOutcomeUnreadable(host, offset));
  }

  private static void onOutcomeRead(PartitionHost host, LogRecord entry) {
    if (entry.body() instanceof EntriesRecorded recorded) {
      host.on(new OutcomeRead(entry.offset(), recorded));
    } else {
      onOutcomeUnreadable(host, entry.offset());
    }
  }

  private static void onOutcomeUnreadable(PartitionHost host, long offset) {
    host.on(new OutcomeUnreadable(offset));
  }
}
