package io.hawthornlb.gateway.job;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Which process holds which partition, as far as this one was told. No I/O.
 *
 * <p>Failure: a notice of a new holder is lost, or an old one comes late. It shows as calls about
 * jobs that go to a process which holds them no more. Guard: the higher epoch counts, and what a
 * call in vain makes doubtful is asked for anew; a wrong holder costs a call, since whoever answers
 * reads the log before it says that there is nothing.
 */
final class JobHolders {

  private record Holder(String name, long epoch) {}

  private final Map<Integer, Holder> holders = new HashMap<>();

  /** Returns the name of the process that holds a partition; empty if it is not known. */
  Optional<String> find(int partition) {
    return Optional.ofNullable(holders.get(partition)).map(Holder::name);
  }

  /** Takes a holder's own notice. */
  void held(int partition, String name, long epoch) {
    Holder known = holders.get(partition);
    if (known == null || known.epoch() <= epoch) {
      holders.put(partition, new Holder(name, epoch));
    }
  }

  /** Takes what the store tells of all partitions; a notice of the same holder keeps its epoch. */
  void told(Map<Integer, String> owners) {
    owners.forEach(
        (partition, name) -> {
          Holder known = holders.get(partition);
          if (known == null || !known.name().equals(name)) {
            holders.put(partition, new Holder(name, 0));
          }
        });
  }

  /** Forgets a holder that did not answer, unless another one is known by now. */
  void doubt(int partition, String name) {
    Holder known = holders.get(partition);
    if (known != null && known.name().equals(name)) {
      holders.remove(partition);
    }
  }
}
