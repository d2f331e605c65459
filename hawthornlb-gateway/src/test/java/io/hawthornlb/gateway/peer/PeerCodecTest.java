package io.hawthornlb.gateway.peer;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.hawthornlb.core.crash.PartEvidence;
import io.hawthornlb.core.model.WorkspaceId;
import io.hawthornlb.core.work.WorkSize;
import io.hawthornlb.gateway.crash.PartUpdate;
import io.hawthornlb.gateway.decode.UnreadableException;
import io.hawthornlb.gateway.endpoint.EndpointIncarnation;
import io.hawthornlb.gateway.slot.RefusalCause;
import io.hawthornlb.gateway.slot.RefusalReason;
import io.hawthornlb.gateway.slot.SizeClass;
import io.hawthornlb.gateway.slot.SlotAnswer;
import io.hawthornlb.gateway.slot.SlotKey;
import io.hawthornlb.gateway.slot.SlotOutcome;
import io.hawthornlb.gateway.slot.SlotRequest;
import io.hawthornlb.gateway.slot.SlotUse;
import io.hawthornlb.gateway.stream.StreamId;
import io.hawthornlb.gateway.stream.StreamOrigin;
import io.hawthornlb.gateway.wire.ReportedLoad;
import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

class PeerCodecTest {

  private static final StreamId STREAM = new StreamId(7L << 50, -3);
  private static final StreamOrigin ORIGIN = new StreamOrigin("engine", "v1.2");
  private static final SlotKey KEY = new SlotKey("holder~1", 42);

  private static final SlotAnswer REFUSED_WITH_REASON =
      new SlotAnswer.Refused(
          KEY,
          Duration.ofMillis(250),
          SlotAnswer.Load.UNKNOWN,
          new RefusalReason(RefusalCause.QUEUE_SHARE, SizeClass.LARGE, Duration.ofMillis(4_100)));

  private static final Instant TRIED = Instant.ofEpochMilli(1_800_000_000_123L);

  static List<PeerMessage> messages() {
    return List.of(
        new PeerMessage.Ask(
            SlotRequest.builder(KEY, "engine")
                .batch(true)
                .rank(7L << 33)
                .work(Duration.ofMillis(4_200))
                .dataCentre("a")
                .maxWait(Duration.ofMillis(150))
                .patience(Duration.ofMillis(3_000))
                .fingerprint(99)
                .excluded(
                    Set.of(
                        new EndpointIncarnation("e1", 7), EndpointIncarnation.ofUnknownStart("e2")))
                .build()),
        new PeerMessage.Answer(new SlotAnswer.Granted(KEY, "e1")),
        new PeerMessage.Answer(new SlotAnswer.Waiting(KEY, Duration.ofMillis(150))),
        new PeerMessage.Answer(
            new SlotAnswer.Refused(KEY, Duration.ofMillis(250), new SlotAnswer.Load(48, 48, 3))),
        new PeerMessage.Answer(REFUSED_WITH_REASON),
        new PeerMessage.Ask(
            SlotRequest.builder(KEY, "engine")
                .rank(1)
                .dataCentre("a")
                .maxWait(Duration.ofMillis(150))
                .patience(Duration.ofMillis(3_000))
                .fingerprint(99)
                .workspace(new WorkspaceId("farm"))
                .charged(true)
                .build()),
        new PeerMessage.Ask(
            SlotRequest.builder(KEY, "engine")
                .workspace(new WorkspaceId("farm"))
                .charged(true)
                .size(new WorkSize(450, 300, WorkSize.UNKNOWN))
                .build()),
        new PeerMessage.Ask(
            SlotRequest.builder(KEY, "engine").size(new WorkSize(450, 300, 210)).build()),
        new PeerMessage.Answer(new SlotAnswer.OverLimit(KEY, Duration.ofMillis(730))),
        new PeerMessage.Allowed(Map.of(new WorkspaceId("farm"), 7, new WorkspaceId("store"), -1)),
        new PeerMessage.Ping(),
        new PeerMessage.Pong(),
        new PeerMessage.Answer(new SlotAnswer.Revoked(KEY)),
        new PeerMessage.Release("engine", KEY, SlotOutcome.FAILED),
        new PeerMessage.Suspect("engine", KEY),
        new PeerMessage.Told("engine", KEY, new ReportedLoad(8, 3)),
        new PeerMessage.Told("engine", KEY, new ReportedLoad(8, 0, 250)),
        new PeerMessage.Learned("engine", 7L << 40, Duration.ofMillis(730), new byte[] {1, 2, 3}),
        new PeerMessage.Held(11, 7L << 40),
        new PeerMessage.Barred("engine", -7L << 50),
        new PeerMessage.Renew(
            "engine",
            "holder~1",
            List.of(
                new SlotUse(
                    1, EndpointIncarnation.ofUnknownStart("e1"), true, 9, Duration.ofMillis(700)),
                new SlotUse(2, "e2", false, 0))));
  }

  /** Returns messages about streams that are continued at the version that began them. */
  static List<PeerMessage> versionMessages() {
    return List.of(
        new PeerMessage.Parts(
            List.of(
                new PartUpdate("5c1e07a2", null),
                new PartUpdate(
                    "bad0", new PartEvidence(Set.of("e1:-1", "e2:7"), TRIED, TRIED, 1)))),
        new PeerMessage.Ask(SlotRequest.builder(KEY, "engine").version("v1.2").build()),
        new PeerMessage.Ask(
            SlotRequest.builder(KEY, "engine")
                .workspace(new WorkspaceId("farm"))
                .size(new WorkSize(450, 300, 210))
                .version("v1.2")
                .build()),
        new PeerMessage.Answer(
            new SlotAnswer.Refused(
                KEY, Duration.ofMillis(500), SlotAnswer.Load.UNKNOWN, RefusalReason.VERSION_GONE)),
        new PeerMessage.Began(STREAM, ORIGIN),
        new PeerMessage.FindOrigin(STREAM),
        new PeerMessage.Origin(STREAM, true, ORIGIN),
        new PeerMessage.Origin(STREAM, true, null),
        new PeerMessage.Origin(STREAM, false, null));
  }

  @ParameterizedTest
  @MethodSource({"messages", "versionMessages"})
  void decodesWhatItEncoded(PeerMessage message) {
    PeerCodec.Envelope envelope = new PeerCodec.Envelope("a1", message);
    assertEquals(envelope, PeerCodec.decode(PeerCodec.encode(envelope)));
  }

  /** Guards against requests that instances of a former version cannot read. */
  @Test
  void formerVersionsReadARequestWithoutItsVersion() {
    SlotRequest.Builder request = SlotRequest.builder(KEY, "engine").dataCentre("a");
    byte[] former = encodeAsk(request.build());
    byte[] extended = encodeAsk(request.version("v1.2").build());
    assertArrayEquals(former, Arrays.copyOf(extended, former.length));
  }

  private static byte[] encodeAsk(SlotRequest request) {
    return PeerCodec.encode(new PeerCodec.Envelope("a1", new PeerMessage.Ask(request)));
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "GET / HTTP/1.1", "\u0001\u0002"})
  void refusesForeignDatagrams(String text) {
    byte[] bytes = text.getBytes();
    assertThrows(UnreadableException.class, () -> PeerCodec.decode(bytes));
  }
}
