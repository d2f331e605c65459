package io.hawthornlb.gateway.slot.support;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import io.hawthornlb.gateway.endpoint.EndpointDirectory;
import io.hawthornlb.gateway.endpoint.EndpointIncarnation;
import io.hawthornlb.gateway.endpoint.EndpointRecord;
import io.hawthornlb.gateway.slot.RefusalReason;
import io.hawthornlb.gateway.slot.RequestQuota;
import io.hawthornlb.gateway.slot.SlotAnswer;
import io.hawthornlb.gateway.slot.SlotKey;
import io.hawthornlb.gateway.slot.SlotOutcome;
import io.hawthornlb.gateway.slot.SlotRequest;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

/** Covers requests that only endpoints of one version may serve. */
class VersionedSlotsTest {

  private static final String SERVICE = "engine";

  private final EndpointDirectory directory = new EndpointDirectory();
  private final DefaultSlotCoordinator coordinator =
      new DefaultSlotCoordinator(
          SERVICE, directory, SlotSettings.DEFAULT, RequestQuota.UNLIMITED, fingerprint -> {});
  private final Instant now = Instant.parse("2026-01-01T00:00:00Z");
  private long numbers;

  @Test
  void grantsAnEndpointOfTheVersionAlthoughOthersAreFree() {
    offer("e1", 8, "v1");
    offer("e2", 1, "v2");
    assertEquals("e2", granted(ask("v2")));
    assertEquals("e1", granted(ask(null)));
  }

  /** Guards against a caller that waits for a version that is no longer there. */
  @Test
  void refusesAtOnceIfNoEndpointOfTheVersionIsListed() {
    offer("e1", 8, "v1");
    SlotAnswer.Refused refused =
        assertInstanceOf(SlotAnswer.Refused.class, answer(ask("v2")).get(0));
    assertEquals(RefusalReason.VERSION_GONE, refused.reason());
  }

  /** Guards against a coordinator that has not read its list and takes a version for gone. */
  @Test
  void waitsIfNoEndpointIsListedAtAll() {
    SlotRequest request = ask("v1");
    assertInstanceOf(SlotAnswer.Waiting.class, answer(request).get(0));
    offer("e1", 8, "v1");
    assertEquals(List.of(new SlotAnswer.Granted(request.key(), "e1")), coordinator.tick(now));
  }

  /** Guards against a stream that is refused because the endpoints of its version are busy. */
  @Test
  void waitsIfAllEndpointsOfTheVersionAreBusy() {
    offer("e1", 8, "v1");
    offer("e2", 1, "v2");
    SlotRequest first = ask("v2");
    granted(first);
    SlotRequest second = ask("v2");
    assertInstanceOf(SlotAnswer.Waiting.class, answer(second).get(0));
    List<SlotAnswer> freed = coordinator.release(first.key(), SlotOutcome.ANSWERED, now);
    assertEquals(List.of(new SlotAnswer.Granted(second.key(), "e2")), freed);
  }

  /** Guards against requests of any version that wait behind one whose version is busy. */
  @Test
  void aRequestThatWaitsForItsVersionHoldsUpNoOther() {
    offer("e1", 1, "v1");
    offer("e2", 1, "v2");
    SlotRequest atV1 = ask(null);
    SlotRequest atV2 = ask("v2");
    granted(atV1);
    granted(atV2);
    SlotRequest tied = ask("v2");
    SlotRequest free = ask(null);
    assertInstanceOf(SlotAnswer.Waiting.class, answer(tied).get(0));
    assertInstanceOf(SlotAnswer.Waiting.class, answer(free).get(0));
    List<SlotAnswer> freed = coordinator.release(atV1.key(), SlotOutcome.ANSWERED, now);
    assertEquals(List.of(new SlotAnswer.Granted(free.key(), "e1")), freed);
  }

  /** Guards against an item that never finds enough free slots at the few endpoints it may use. */
  @Test
  void admitsAnItemByTheFreeSlotsOfAllVersions() {
    offer("e1", 40, "v1");
    offer("e2", 4, "v2");
    for (int i = 0; i < 24; i++) {
      granted(ask("v1"));
    }
    assertEquals("e2", granted(item("v2")));
  }

  private void offer(String id, int slots, String version) {
    InetSocketAddress address = new InetSocketAddress("127.0.0.1", 1);
    directory.put(
        new EndpointRecord(
            id, SERVICE, address, "a", slots, false, EndpointIncarnation.UNKNOWN, version));
  }

  private SlotRequest ask(@Nullable String version) {
    return request(version).build();
  }

  private SlotRequest item(String version) {
    return request(version).batch(true).rank(now.toEpochMilli()).build();
  }

  private SlotRequest.Builder request(@Nullable String version) {
    numbers++;
    return SlotRequest.builder(new SlotKey("holder", numbers), SERVICE)
        .dataCentre("a")
        .maxWait(Duration.ofSeconds(2))
        .fingerprint(numbers)
        .version(version);
  }

  private List<SlotAnswer> answer(SlotRequest request) {
    return coordinator.request(request, now);
  }

  private String granted(SlotRequest request) {
    return assertInstanceOf(SlotAnswer.Granted.class, answer(request).get(0)).endpoint();
  }
}
