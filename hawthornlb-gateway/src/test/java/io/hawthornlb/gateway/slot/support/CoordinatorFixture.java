package io.hawthornlb.gateway.slot.support;

import io.hawthornlb.gateway.endpoint.EndpointDirectory;
import io.hawthornlb.gateway.endpoint.EndpointIncarnation;
import io.hawthornlb.gateway.endpoint.EndpointRecord;
import io.hawthornlb.gateway.slot.RequestQuota;
import io.hawthornlb.gateway.slot.SlotAnswer;
import io.hawthornlb.gateway.slot.SlotKey;
import io.hawthornlb.gateway.slot.SlotOutcome;
import io.hawthornlb.gateway.slot.SlotRequest;
import io.hawthornlb.gateway.slot.SlotUse;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A coordinator of one service, with a controllable clock. */
final class CoordinatorFixture {

  static final String SERVICE = "engine";

  final EndpointDirectory directory = new EndpointDirectory();
  final DefaultSlotCoordinator coordinator;
  Instant now = Instant.parse("2026-01-01T00:00:00Z");
  private final Map<SlotKey, SlotUse> uses = new HashMap<>();
  private long numbers;

  CoordinatorFixture() {
    this(SlotSettings.DEFAULT);
  }

  CoordinatorFixture(SlotSettings settings) {
    this(settings, RequestQuota.UNLIMITED);
  }

  CoordinatorFixture(RequestQuota quota) {
    this(SlotSettings.DEFAULT, quota);
  }

  private CoordinatorFixture(SlotSettings settings, RequestQuota quota) {
    coordinator =
        new DefaultSlotCoordinator(SERVICE, directory, settings, quota, fingerprint -> {});
  }

  CoordinatorFixture endpoint(String id, String dataCentre, int slots) {
    directory.put(
        new EndpointRecord(
            id, SERVICE, new InetSocketAddress("127.0.0.1", 1), dataCentre, slots, false));
    return this;
  }

  SlotRequest online(String dataCentre) {
    return request(dataCentre, false, 0, Set.of());
  }

  SlotRequest batch(Instant due) {
    return request("a", true, due.toEpochMilli(), Set.of());
  }

  /** Returns a request for a batch item. */
  SlotRequest item(Instant due, Duration work) {
    numbers++;
    return SlotRequest.builder(new SlotKey("holder", numbers), SERVICE)
        .batch(true)
        .rank(due.toEpochMilli())
        .work(work)
        .dataCentre("a")
        .maxWait(Duration.ofSeconds(2))
        .build();
  }

  SlotRequest request(
      String dataCentre, boolean batch, long rank, Set<EndpointIncarnation> excluded) {
    numbers++;
    return SlotRequest.builder(new SlotKey("holder", numbers), SERVICE)
        .batch(batch)
        .rank(rank)
        .dataCentre(dataCentre)
        .maxWait(Duration.ofMillis(150))
        .fingerprint(numbers)
        .excluded(excluded)
        .build();
  }

  List<SlotAnswer> ask(SlotRequest request) {
    return coordinator.request(request, now);
  }

  /**
   * Calls {@code tick}, as the coordinating gateway does periodically; returns the answers to send.
   */
  List<SlotAnswer> tick() {
    return coordinator.tick(now);
  }

  /** Records that a request uses its slot from now on, until {@link #ended}. */
  void began(SlotRequest request, String endpoint) {
    EndpointIncarnation incarnation = EndpointIncarnation.ofUnknownStart(endpoint);
    uses.put(
        request.key(),
        new SlotUse(
            request.key().number(), incarnation, request.batch(), request.rank(), request.work()));
  }

  void ended(SlotKey key) {
    uses.remove(key);
  }

  /** Renews all leases, as their holders do every second. */
  void renew() {
    coordinator.renew("holder", List.copyOf(uses.values()), now);
  }

  /** Sends a request that must be granted at once, and returns the endpoint. */
  String granted(SlotRequest request) {
    for (SlotAnswer answer : ask(request)) {
      if (answer instanceof SlotAnswer.Granted granted && granted.key().equals(request.key())) {
        return granted.endpoint();
      }
    }
    throw new AssertionError("not granted: " + request);
  }

  List<SlotAnswer> release(SlotRequest request, SlotOutcome outcome) {
    return coordinator.release(request.key(), outcome, now);
  }

  void advance(Duration time) {
    now = now.plus(time);
  }
}
