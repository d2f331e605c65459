package io.hawthornlb.gateway.crash.support;

import io.hawthornlb.core.crash.Admission;
import io.hawthornlb.core.crash.CrashBlock;
import io.hawthornlb.core.crash.PromptParts;
import io.hawthornlb.core.crash.support.EndlessProbes;
import io.hawthornlb.gateway.crash.BrokenRun;
import io.hawthornlb.gateway.crash.CrashGuard;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Guard of batch items, which are owed and never the cause of a crash by themselves.
 *
 * <p>Crashes under items are evidence for items of this instance only, and slow these down: one
 * after the other is sent until an answer begins. An item also waits for parts that requests are
 * suspected for. Both kinds of waits end, as there are always further probes.
 */
final class ItemCrashGuard implements CrashGuard {

  private final DefaultCrashGuard requests;

  ItemCrashGuard(DefaultCrashGuard requests) {
    this.requests = requests;
  }

  @Override
  public Optional<CrashBlock> check(PromptParts parts) {
    return requests
        .checkItem(parts)
        .or(() -> requests.check(parts.withoutContent(), EndlessProbes.SUSPECTED_BY_REQUESTS));
  }

  @Override
  public Admission admit(PromptParts parts) {
    Optional<CrashBlock> block = check(parts);
    if (block.isPresent()) {
      return Admission.refused(block.get());
    }
    Set<String> probed = new HashSet<>(requests.admitItem(parts).probed());
    probed.addAll(
        requests.admit(parts.withoutContent(), EndlessProbes.SUSPECTED_BY_REQUESTS).probed());
    return new Admission(Optional.empty(), probed);
  }

  @Override
  public void unsent(Set<String> probed) {
    requests.unsent(probed);
  }

  @Override
  public void began(String requestId, PromptParts parts) {
    requests.began(requestId, parts);
  }

  @Override
  public void broken(BrokenRun run) {
    requests.itemBroken(run);
  }
}
