package io.hawthornlb.app.entry;

import static io.hawthornlb.app.entry.MessageHandlers.oneWay;

import io.hawthornlb.core.admission.DemandDigest;
import io.hawthornlb.core.effect.BroadcastScope;
import io.hawthornlb.core.endpoint.EndpointNotice;
import io.hawthornlb.core.routing.InFlightDigest;
import io.hawthornlb.core.suspect.ClearNotice;
import io.hawthornlb.core.suspect.CrashNotice;
import io.hawthornlb.core.suspect.QuarantineNotice;
import io.hawthornlb.net.peer.PeerHandlerRegistry;
import java.time.InstantSource;

/** Exchanges the state of the policies between entry instances, mostly as digests. */
final class PolicyExchange {

  private final OnlinePolicies policies;
  private final PeerMesh peers;
  private final InstantSource clock;

  PolicyExchange(OnlinePolicies policies, PeerMesh peers, InstantSource clock) {
    this.policies = policies;
    this.peers = peers;
    this.clock = clock;
  }

  /** Registers the handlers of policy messages of peers. */
  void register(PeerHandlerRegistry.Builder builder) {
    builder
        .register(
            EndpointNotice.class,
            oneWay(notice -> policies.endpoints().onNotice(notice, clock.instant())))
        .register(
            InFlightDigest.class,
            oneWay(digest -> policies.inFlight().onDigest(digest, clock.instant())))
        .register(
            DemandDigest.class,
            oneWay(digest -> policies.shares().onDigest(digest, clock.instant())))
        .register(
            CrashNotice.class,
            oneWay(notice -> policies.suspects().onNotice(notice, clock.instant())))
        .register(
            ClearNotice.class,
            oneWay(notice -> policies.suspects().onClear(notice, clock.instant())))
        .register(QuarantineNotice.class, oneWay(this::quarantine))
        .register(
            LoadNotice.class,
            oneWay(
                notice ->
                    policies
                        .endpoints()
                        .onLoad(notice.endpoint(), notice.report(), clock.instant())))
        .register(
            CacheNotice.class,
            oneWay(
                notice ->
                    policies
                        .prefixes()
                        .onEvents(notice.endpoint(), notice.events(), clock.instant())));
  }

  /**
   * Broadcasts changes of the in-flight counts within the data centre. Call this method a few times
   * a second.
   *
   * <p>Entry instances in other data centres see the in-flight requests in the load reports, and
   * the dispatcher of an endpoint is notified of each request immediately.
   */
  void sendInFlight() {
    policies
        .inFlight()
        .digest(clock.instant())
        .ifPresent(digest -> peers.broadcast(digest, BroadcastScope.DATA_CENTRE));
  }

  /** Broadcasts the demand of this instance to the fleet. Call this method once a second. */
  void sendDemand() {
    peers.broadcast(policies.shares().digest(clock.instant()), BroadcastScope.FLEET);
  }

  private void quarantine(QuarantineNotice notice) {
    policies.suspects().onQuarantine(notice, clock.instant());
    policies.endpoints().quarantine(notice.endpoint(), notice.until());
  }
}
