package io.hawthornlb.app.entry;

import io.hawthornlb.core.admission.ShareKey;
import io.hawthornlb.core.membership.ListedKind;
import io.hawthornlb.core.membership.ListedProcess;
import io.hawthornlb.core.membership.ListedState;
import io.hawthornlb.core.model.DataCentre;
import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.ServiceName;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Creates policies for a fleet of a given size, and measures CPU time and heap use. */
final class CapacityFixture {

  static final Instant START = Instant.parse("2026-12-02T10:00:00Z");
  static final ServiceName SERVICE = new ServiceName("brief-llm");
  private static final int DATA_CENTRES = 5;
  private static final int ROUNDS_PER_CHECK = 200;
  private static final long MEASURED_NANOS = 700_000_000L;
  private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

  private CapacityFixture() {}

  static OnlinePolicies policies(int endpoints, int entries) {
    OnlinePolicies policies = PolicyFactory.create(new InstanceId("entry-0"), dataCentre(0));
    policies.endpoints().onList(listed(endpoints), START, START);
    policies.shares().onEntries(entries(entries), START);
    return policies;
  }

  static List<ListedProcess> listed(int endpoints) {
    List<ListedProcess> processes = new ArrayList<>();
    for (int i = 0; i < endpoints; i++) {
      processes.add(
          new ListedProcess(
              endpoint(i).value(),
              ListedKind.ENDPOINT,
              Optional.of(SERVICE),
              dataCentre(i),
              "10.20.30.40:8000",
              ListedState.LIVE));
    }
    return processes;
  }

  static Map<InstanceId, DataCentre> entries(int count) {
    Map<InstanceId, DataCentre> entries = new HashMap<>();
    for (int i = 0; i < count; i++) {
      entries.put(new InstanceId("entry-" + i), dataCentre(i));
    }
    return entries;
  }

  static EndpointId endpoint(int number) {
    return new EndpointId("engine-" + number);
  }

  static DataCentre dataCentre(int number) {
    return new DataCentre("dc-" + number % DATA_CENTRES);
  }

  static ShareKey key(ShareKey.Kind kind, int workspace) {
    return new ShareKey(kind, String.format("workspace-%05d", workspace));
  }

  /** Returns the CPU time of a call in microseconds, after a warm-up of the same length. */
  static double cpuMicros(Runnable call) {
    measure(call);
    return measure(call);
  }

  private static double measure(Runnable call) {
    long start = THREADS.getCurrentThreadCpuTime();
    long rounds = 0;
    long used = 0;
    while (used < MEASURED_NANOS) {
      for (int i = 0; i < ROUNDS_PER_CHECK; i++) {
        call.run();
      }
      rounds += ROUNDS_PER_CHECK;
      used = THREADS.getCurrentThreadCpuTime() - start;
    }
    return used / 1_000.0 / rounds;
  }

  static long usedBytes() {
    for (int i = 0; i < 3; i++) {
      System.gc();
    }
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
  }
}
