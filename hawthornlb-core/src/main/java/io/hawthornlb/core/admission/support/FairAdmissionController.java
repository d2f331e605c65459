package io.hawthornlb.core.admission.support;

import io.hawthornlb.core.admission.AdmissionController;
import io.hawthornlb.core.admission.AdmissionDecision;
import io.hawthornlb.core.admission.AdmissionRequest;
import io.hawthornlb.core.admission.AdmissionSettings;
import io.hawthornlb.core.admission.RefuseRequest;
import io.hawthornlb.core.admission.ShareExchange;
import io.hawthornlb.core.admission.ShareKey;
import io.hawthornlb.core.admission.StartRequest;
import io.hawthornlb.core.catalogue.Catalogue;
import io.hawthornlb.core.catalogue.Limits;
import io.hawthornlb.core.catalogue.ServiceEntry;
import io.hawthornlb.core.catalogue.WorkspaceEntry;
import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.model.Refusal;
import io.hawthornlb.core.model.RefusalReason;
import io.hawthornlb.core.model.RequestClass;
import io.hawthornlb.core.model.RequestId;
import io.hawthornlb.core.model.ServiceName;
import io.hawthornlb.core.model.WorkspaceId;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Controller with a fair queue for each service and request class, which applies this instance's
 * shares of the fleet-wide limits.
 *
 * <p>A request is refused as soon as the controller knows that it would miss its deadline. The
 * refusal contains the time after which the request would probably be admitted.
 */
public final class FairAdmissionController implements AdmissionController {

  private static final double IDLE_RATE = 0.01;

  private final ShareExchange shares;
  private final AdmissionSettings settings;
  private final Map<ServiceName, ServicePool> pools = new HashMap<>();
  private final Map<WorkspaceId, WorkspaceUse> uses = new HashMap<>();
  private final Map<RequestId, Ticket> tickets = new HashMap<>();
  private Catalogue catalogue = Catalogue.EMPTY;
  private long nextNumber;

  /** Creates a controller that takes its shares of the limits from an exchange. */
  public FairAdmissionController(ShareExchange shares, AdmissionSettings settings) {
    this.shares = shares;
    this.settings = settings;
  }

  @Override
  public void onCatalogue(Catalogue revision) {
    catalogue = revision;
  }

  @Override
  public void onCapacity(ServiceName service, int slots, Instant now) {
    pool(service).slots(slots);
  }

  @Override
  public AdmissionDecision offer(AdmissionRequest request, Instant now) {
    ServicePool pool = pool(request.service());
    WorkspaceUse use = use(request.workspace(), now);
    Instant startBy = startBy(request, pool, now);
    Refusal refusal = refusal(request, startBy, pool, use, now);
    if (refusal != null) {
      return new AdmissionDecision.Refused(refusal);
    }
    Ticket ticket = new Ticket(request, nextNumber++, startBy);
    tickets.put(request.id(), ticket);
    pool.add(ticket, weight(request.workspace()));
    use.addWaiting(1);
    updateDemand(request.service(), pool, request.workspace(), use);
    startOffered(ticket, pool, now);
    return ticket.running() ? new AdmissionDecision.Admitted() : new AdmissionDecision.Queued();
  }

  @Override
  public List<Effect> onFinished(RequestId id, Instant now) {
    Ticket ticket = tickets.remove(id);
    if (ticket == null) {
      return List.of();
    }
    AdmissionRequest request = ticket.request();
    ServicePool pool = pool(request.service());
    WorkspaceUse use = use(request.workspace(), now);
    if (ticket.running()) {
      pool.ended(ticket, now);
      use.addRunning(-1);
      pools.values().forEach(each -> each.resume(request.workspace()));
    } else {
      pool.remove(ticket);
      use.addWaiting(-1);
    }
    updateDemand(request.service(), pool, request.workspace(), use);
    List<Effect> effects = new ArrayList<>();
    startWaiting(request.service(), pool, now, effects);
    return effects;
  }

  @Override
  public List<Effect> onTick(Instant now) {
    List<Effect> effects = new ArrayList<>();
    pools.forEach(
        (service, pool) -> {
          refuseOverdue(pool, now, effects);
          // This instance's shares of workspace limits may have grown because peers reported less
          // demand.
          pool.resumeAll();
          startWaiting(service, pool, now, effects);
        });
    removeIdle(now);
    return effects;
  }

  @Override
  public int waiting() {
    return pools.values().stream().mapToInt(ServicePool::waiting).sum();
  }

  /**
   * Returns the time by which a request must start so that both its first token and its answer are
   * on time.
   */
  private Instant startBy(AdmissionRequest request, ServicePool pool, Instant now) {
    Instant forAnswer = request.deadline().minus(pool.serviceTime());
    if (request.requestClass() != RequestClass.INTERACTIVE) {
      return forAnswer;
    }
    Instant forFirstToken =
        catalogue
            .service(request.service())
            .map(entry -> now.plus(entry.firstToken()))
            .orElse(forAnswer);
    return forFirstToken.isBefore(forAnswer) ? forFirstToken : forAnswer;
  }

  private @Nullable Refusal refusal(
      AdmissionRequest request, Instant startBy, ServicePool pool, WorkspaceUse use, Instant now) {
    Duration wait = waitTime(request, pool, now);
    if (pool.waiting() >= settings.waitingPerService()
        || pool.waiting(request.workspace()) >= settings.waitingPerWorkspace()) {
      return limitExceeded("too many requests wait", wait);
    }
    Duration late = Duration.between(startBy, now.plus(wait));
    // Refuse now: a caller whose request is held until its deadline has lost the time in which it
    // could have retried or used another service.
    if (!late.isNegative() && !late.isZero()) {
      return Refusal.notRun(
              RefusalReason.DEADLINE_UNREACHABLE, "the request would miss its deadline")
          .retryAfter(bounded(late));
    }
    double rate = workspaceRate(request.workspace(), use, now);
    if (!use.rate().tryAcquire(now, rate)) {
      return limitExceeded("the workspace is over its rate", use.rate().waitTime(rate));
    }
    return null;
  }

  private double workspaceRate(WorkspaceId workspace, WorkspaceUse use, Instant now) {
    ShareKey key = new ShareKey(ShareKey.Kind.WORKSPACE_RATE, workspace.value());
    double limit = limits(workspace).requestsPerSecond();
    shares.demand(key, use.rate().recordArrival(now));
    return shares.share(key, limit, now);
  }

  /**
   * Starts the offered request if it is next in the queue; other queued requests are started by the
   * next event.
   */
  private void startOffered(Ticket offered, ServicePool pool, Instant now) {
    ServiceName service = offered.request().service();
    if (pool.running() + 1 <= capacity(service, pool, now) && next(pool, now) == offered) {
      start(offered, pool, now);
    }
  }

  private void startWaiting(
      ServiceName service, ServicePool pool, Instant now, List<Effect> effects) {
    double capacity = capacity(service, pool, now);
    Ticket ticket = next(pool, now);
    while (ticket != null && pool.running() + 1 <= capacity) {
      start(ticket, pool, now);
      effects.add(new StartRequest(ticket.request().id()));
      ticket = next(pool, now);
    }
  }

  private @Nullable Ticket next(ServicePool pool, Instant now) {
    FairQueue queue = pool.next();
    while (queue != null) {
      Ticket ticket = queue.peek();
      if (ticket == null || !atLimit(ticket.request().workspace(), now)) {
        return ticket;
      }
      // Skip a workspace that has reached its own limit, because all other workspaces would wait
      // behind it.
      queue.suspend(ticket.request().workspace());
      queue = pool.next();
    }
    return null;
  }

  private void start(Ticket ticket, ServicePool pool, Instant now) {
    pool.start(ticket, now);
    WorkspaceUse use = use(ticket.request().workspace(), now);
    use.addWaiting(-1);
    use.addRunning(1);
  }

  private void refuseOverdue(ServicePool pool, Instant now, List<Effect> effects) {
    Ticket ticket = pool.overdue(now);
    while (ticket != null) {
      AdmissionRequest request = ticket.request();
      pool.remove(ticket);
      tickets.remove(request.id());
      WorkspaceUse use = use(request.workspace(), now);
      use.addWaiting(-1);
      updateDemand(request.service(), pool, request.workspace(), use);
      Refusal refusal =
          Refusal.notRun(
                  RefusalReason.DEADLINE_UNREACHABLE, "the request can no longer meet its deadline")
              .retryAfter(bounded(waitTime(request, pool, now)));
      effects.add(new RefuseRequest(request.id(), refusal));
      ticket = pool.overdue(now);
    }
  }

  private double capacity(ServiceName service, ServicePool pool, Instant now) {
    int limit =
        catalogue.service(service).map(ServiceEntry::limits).orElse(Limits.DEFAULT).concurrent();
    double slots = pool.slots() == 0 ? limit : pool.slots() * settings.capacityFactor();
    ShareKey key = new ShareKey(ShareKey.Kind.SERVICE, service.value());
    return Math.max(1, shares.share(key, Math.min(limit, slots), now));
  }

  private boolean atLimit(WorkspaceId workspace, Instant now) {
    WorkspaceUse use = uses.get(workspace);
    ShareKey key = new ShareKey(ShareKey.Kind.WORKSPACE, workspace.value());
    double share = shares.share(key, limits(workspace).concurrent(), now);
    return use != null && use.running() + 1 > Math.max(1, share);
  }

  private void updateDemand(
      ServiceName service, ServicePool pool, WorkspaceId workspace, WorkspaceUse use) {
    shares.demand(
        new ShareKey(ShareKey.Kind.SERVICE, service.value()), pool.running() + pool.waiting());
    shares.demand(new ShareKey(ShareKey.Kind.WORKSPACE, workspace.value()), use.total());
  }

  private void removeIdle(Instant now) {
    uses.entrySet()
        .removeIf(
            entry -> {
              boolean idle =
                  entry.getValue().total() == 0
                      && entry.getValue().rate().arrivals(now) < IDLE_RATE;
              if (idle) {
                String name = entry.getKey().value();
                shares.demand(new ShareKey(ShareKey.Kind.WORKSPACE_RATE, name), 0);
                shares.demand(new ShareKey(ShareKey.Kind.WORKSPACE, name), 0);
              }
              return idle;
            });
  }

  private Duration waitTime(AdmissionRequest request, ServicePool pool, Instant now) {
    return pool.waitTime(
        request.requestClass(), request.workspace(), weight(request.workspace()), now);
  }

  private Refusal limitExceeded(String detail, Duration wait) {
    return Refusal.notRun(RefusalReason.LIMIT_EXCEEDED, detail).retryAfter(bounded(wait));
  }

  private Duration bounded(Duration wait) {
    Duration least = settings.leastRetryAfter();
    Duration most = settings.mostRetryAfter();
    return wait.compareTo(least) < 0 ? least : wait.compareTo(most) > 0 ? most : wait;
  }

  private Limits limits(WorkspaceId workspace) {
    return catalogue.workspace(workspace).map(WorkspaceEntry::limits).orElse(Limits.DEFAULT);
  }

  private double weight(WorkspaceId workspace) {
    return catalogue.workspace(workspace).map(WorkspaceEntry::weight).orElse(1.0);
  }

  private WorkspaceUse use(WorkspaceId workspace, Instant now) {
    return uses.computeIfAbsent(workspace, key -> new WorkspaceUse(now));
  }

  private ServicePool pool(ServiceName service) {
    return pools.computeIfAbsent(service, key -> new ServicePool(settings.bulkEvery()));
  }
}
