package io.hawthornlb.gateway.job;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The holders of the partitions, as far as this process knows them. Performs no I/O.
 *
 * <p>A notice of a new holder may be lost, or an old notice may arrive late. Calls about jobs would
 * then go to a process that no longer holds their partition. Therefore the notice with the higher
 * epoch wins, and a holder that does not reply is looked up again. A wrong holder costs one call,
 * since each process that answers reads the log before it says that a job or result does not exist.
 */
final class JobHolders {

  private record Holder(String name, long epoch) {}

  private final Map<Integer, Holder> holders = new HashMap<>();

  /** Returns the name of the process that holds a partition; empty if unknown. */
  Optional<String> find(int partition) {
    return Optional.ofNullable(holders.get(partition)).map(Holder::name);
  }

  /** Records a holder's own notice; ignored if a notice with a higher epoch is known. */
  void putUnlessOlder(int partition, String name, long epoch) {
    Holder known = holders.get(partition);
    if (known == null || known.epoch() <= epoch) {
      holders.put(partition, new Holder(name, epoch));
    }
  }

  /**
   * Updates all partitions with the holders that the store names. If a partition's holder stays the
   * same, the epoch of its notice is kept.
   */
  void update(Map<Integer, String> found) {
    found.forEach(
        (partition, name) -> {
          Holder known = holders.get(partition);
          if (known == null || !known.name().equals(name)) {
            holders.put(partition, new Holder(name, 0));
          }
        });
  }

  /** Removes a holder that did not reply, unless another holder is known by now. */
  void remove(int partition, String name) {
    Holder known = holders.get(partition);
    if (known != null && known.name().equals(name)) {
      holders.remove(partition);
    }
  }
}
