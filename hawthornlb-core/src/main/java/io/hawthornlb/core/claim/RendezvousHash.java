package io.hawthornlb.core.claim;

import com.dynatrace.hash4j.hashing.Hashing;
import io.hawthornlb.core.model.InstanceId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Ranks instances for a key by rendezvous hashing. When an instance leaves, only the keys that it
 * owned move to other owners.
 */
public final class RendezvousHash {

  private record Ranked(InstanceId instance, long hash) {}

  private final List<Ranked> instances;

  /** Creates a hash over a set of instances. */
  public RendezvousHash(Collection<InstanceId> instances) {
    this.instances = instances.stream().sorted().map(each -> new Ranked(each, hash(each))).toList();
  }

  /**
   * Returns the owner of a key, which is the first instance of its ranking; empty if there are no
   * instances.
   */
  public Optional<InstanceId> owner(long key) {
    @Nullable Ranked first = null;
    long highest = 0;
    for (Ranked each : instances) {
      long weight = weight(key, each);
      if (first == null || weight > highest) {
        first = each;
        highest = weight;
      }
    }
    return Optional.ofNullable(first).map(Ranked::instance);
  }

  /** Returns all instances in the order of their ranks for a key, the owner first. */
  public List<InstanceId> ranked(long key) {
    List<Ranked> sorted = new ArrayList<>(instances);
    sorted.sort(Comparator.comparingLong((Ranked each) -> weight(key, each)).reversed());
    return sorted.stream().map(Ranked::instance).toList();
  }

  /** Hashes the stable name of an instance, so that a restart of the instance moves no keys. */
  private static long hash(InstanceId instance) {
    return Hashing.wyhashFinal4().hashCharsToLong(instance.stableName());
  }

  private static long weight(long key, Ranked instance) {
    return Hashing.wyhashFinal4().hashLongLongToLong(instance.hash(), key);
  }
}
