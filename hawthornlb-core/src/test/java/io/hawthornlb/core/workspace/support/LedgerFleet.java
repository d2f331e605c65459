package io.hawthornlb.core.workspace.support;

import io.hawthornlb.core.model.WorkspaceId;
import io.hawthornlb.core.workspace.WorkspaceLimit;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Fleet in which the coordinator of each service decides, and tells the other coordinators and
 * their successors every 100 ms.
 */
final class LedgerFleet implements LimitedFleet {

  private static final Duration DIGEST_INTERVAL = Duration.ofMillis(100);
  private static final Duration CUT_DETECTION = Duration.ofMillis(1_200);
  private static final Duration TAKEOVER = Duration.ofMillis(100);
  private static final List<String> SERVICES = List.of("engine", "lookup");

  private final int[] dataCentres;
  private final TokenLedger[] ledgers;
  private final Map<String, Instant> decidesFrom = new HashMap<>();
  private final Map<WorkspaceId, WorkspaceLimit> limits = new HashMap<>();
  private final Map<Integer, Instant> standInSince = new HashMap<>();
  private final Set<Integer> lost = new HashSet<>();
  private Instant digestAt = Instant.MIN;
  private Instant cutAt = Instant.MAX;
  private int cut = -1;
  private long datagrams;

  LedgerFleet(int[] dataCentres, Instant now) {
    this.dataCentres = dataCentres;
    this.ledgers = new TokenLedger[dataCentres.length];
    restartAll(now);
  }

  @Override
  public boolean request(
      int instance, String service, WorkspaceId workspace, WorkspaceLimit limit, Instant now) {
    limits.put(workspace, limit);
    boolean minority = dataCentres[instance] == cut;
    if (!minority && now.isBefore(decidesFrom.getOrDefault(service, Instant.MIN))) {
      return false;
    }
    int decider = minority ? standIn() : coordinators(service).get(0);
    if (minority && !standInSince.containsKey(decider)) {
      standInSince.put(decider, now);
      ledgers[decider].restart(now);
    }
    ledgers[decider].share(share(minority, now));
    return ledgers[decider].decide(workspace, limit, now).allowed();
  }

  /** Returns the part of the fleet that a coordinator knows to be reachable. */
  private double share(boolean minority, Instant now) {
    if (cut < 0) {
      return 1;
    }
    long inside = 0;
    for (int each : dataCentres) {
      inside += each == cut ? 1 : 0;
    }
    double part = (double) inside / dataCentres.length;
    if (minority) {
      return part;
    }
    return now.isBefore(cutAt.plus(CUT_DETECTION)) ? 1 : 1 - part;
  }

  private List<Integer> coordinators(String service) {
    int first = SERVICES.indexOf(service);
    List<Integer> order = List.of(first, first + 2, first + 4);
    return order.stream()
        .filter(each -> dataCentres[each] != cut && !lost.contains(each))
        .limit(2)
        .toList();
  }

  private int standIn() {
    for (int i = 0; i < dataCentres.length; i++) {
      if (dataCentres[i] == cut) {
        return i;
      }
    }
    throw new IllegalStateException("no instance in data centre " + cut);
  }

  @Override
  public void tick(Instant now) {
    if (now.isBefore(digestAt)) {
      return;
    }
    digestAt = now.plus(DIGEST_INTERVAL);
    Set<Integer> told = new LinkedHashSet<>();
    SERVICES.forEach(service -> told.addAll(coordinators(service)));
    for (int sender = 0; sender < ledgers.length; sender++) {
      Map<WorkspaceId, Integer> counts = ledgers[sender].takeAllowed();
      if (counts.isEmpty() || dataCentres[sender] == cut) {
        continue;
      }
      for (int receiver : told) {
        if (receiver != sender && dataCentres[receiver] != cut) {
          datagrams++;
          counts.forEach(
              (id, count) ->
                  ledgers[receiver].recordAllowedElsewhere(id, limits.get(id), count, now));
        }
      }
    }
  }

  @Override
  public void cut(int dataCentre) {
    cut = dataCentre;
    cutAt = dataCentre < 0 ? Instant.MAX : digestAt;
    standInSince.clear();
  }

  @Override
  public void restartAll(Instant now) {
    for (int i = 0; i < ledgers.length; i++) {
      ledgers[i] = new TokenLedger(now);
    }
  }

  @Override
  public void restartDecider(String service, Instant now) {
    lost.add(coordinators(service).get(0));
    decidesFrom.put(service, now.plus(TAKEOVER));
  }

  @Override
  public long datagrams() {
    return datagrams;
  }
}
