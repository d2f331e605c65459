package io.hawthornlb.core.suspect.support;

import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.suspect.CrashNotice;
import java.time.Instant;
import java.util.HashSet;
import java.util.Set;

/** Crashes of one fingerprint. Each crash is counted once, even if it is reported several times. */
final class SuspectRecord {

  private record CrashId(InstanceId reporter, long sequence) {}

  private final Set<CrashId> crashes = new HashSet<>();
  private int alone;
  private Instant lastCrash;

  SuspectRecord(Instant now) {
    this.lastCrash = now;
  }

  void add(CrashNotice notice, Instant now) {
    if (crashes.add(new CrashId(notice.reporter(), notice.sequence()))) {
      alone += notice.alone() ? 1 : 0;
      lastCrash = now;
    }
  }

  int crashes() {
    return crashes.size();
  }

  int alone() {
    return alone;
  }

  Instant lastCrash() {
    return lastCrash;
  }
}
