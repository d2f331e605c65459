package io.hawthornlb.gateway.peer;

import io.hawthornlb.gateway.RecordingEventLog;
import io.hawthornlb.gateway.VirtualLoop;
import io.hawthornlb.gateway.metric.GatewayMetrics;
import io.hawthornlb.gateway.stream.StreamId;
import io.hawthornlb.gateway.stream.StreamOrigin;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Gateways that tell each other where streams began. */
final class OriginFleet extends VirtualFleet<OriginFleet.Node> {

  /** Number of times that any gateway has looked at its clock. */
  long clockReadings;

  OriginFleet(VirtualLoop time, int instances, int dataCentres) {
    super(time);
    startAll(instances, dataCentres);
  }

  @Override
  protected Node create(String name, String dataCentre, int boot) {
    return new Node(name, dataCentre, boot);
  }

  /** Finds a stream at an instance; returns what it was told, at most one element. */
  static List<Optional<StreamOrigin>> find(Node at, StreamId stream) {
    List<Optional<StreamOrigin>> answers = new ArrayList<>();
    at.origins.find(stream, answers::add);
    return answers;
  }

  private Instant now() {
    clockReadings++;
    return time.instant();
  }

  /** One gateway. */
  final class Node extends VirtualFleet<Node>.Node {

    final FleetStreamOrigins origins;

    private Node(String name, String dataCentre, int boot) {
      super(name, dataCentre, boot);
      InstantSource clock = OriginFleet.this::now;
      this.origins =
          new FleetStreamOrigins(
              fleet, this, time.loop(), clock, new RecordingEventLog(), new GatewayMetrics());
    }
  }
}
