package io.hawthornlb.gateway.slot.support;

import io.hawthornlb.gateway.endpoint.EndpointDirectory;
import io.hawthornlb.gateway.endpoint.EndpointLife;
import io.hawthornlb.gateway.endpoint.EndpointRecord;
import io.hawthornlb.gateway.slot.SlotAnswer;
import io.hawthornlb.gateway.slot.SlotKey;
import io.hawthornlb.gateway.slot.SlotOutcome;
import io.hawthornlb.gateway.slot.SlotRequest;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Set;

/** A coordinator of one service, with its clock. */
final class CoordinatorFixture {

  static final String SERVICE = "engine";

  final EndpointDirectory directory = new EndpointDirectory();
  final DefaultSlotCoordinator coordinator =
      new DefaultSlotCoordinator(SERVICE, directory, SlotSettings.DEFAULT, fingerprint -> {});
  Instant now = Instant.parse("2026-01-01T00:00:00Z");
  private long numbers;

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

  SlotRequest request(String dataCentre, boolean batch, long rank, Set<EndpointLife> excluded) {
    numbers++;
    return new SlotRequest(
        new SlotKey("holder", numbers),
        SERVICE,
        batch,
        rank,
        dataCentre,
        Duration.ofMillis(150),
        numbers,
        excluded);
  }

  List<SlotAnswer> ask(SlotRequest request) {
    return coordinator.request(request, now);
  }

  /** Returns the endpoint that a request is granted at once. */
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
