package io.hawthornlb.gateway.job;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.gateway.ScriptedEndpoint.After;
import io.hawthornlb.gateway.route.CallerLimits;
import io.hawthornlb.gateway.route.ConfigHolder;
import io.hawthornlb.gateway.route.Route;
import io.hawthornlb.gateway.route.RouteKind;
import io.hawthornlb.gateway.route.RoutingConfig;
import io.hawthornlb.gateway.route.ServiceShare;
import io.hawthornlb.gateway.slot.SlotRequest;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Covers items whose route a later configuration no longer has. */
class RemovedRouteItemTest {

  private static final String WHOLE =
      "HTTP/1.1 200 OK\r\nTest-Id: {id}\r\nTest-Signature: s\r\n"
          + "Content-Length: 15\r\n\r\nid: 1\ndata: a\n\n";

  /** Guards against an item that is sent although its route was removed while it had to wait. */
  @Test
  void sendsNoItemWhoseRouteWasRemovedBeforeItsSlotCame() throws IOException {
    ConfigHolder config = JobFixture.config(3);
    try (HolderFixture holder = new HolderFixture()) {
      HeldSlots slots = new HeldSlots(holder);
      holder.endpoint().then(WHOLE, After.KEEP);
      holder.start(config, slots);
      await().until(() -> slots.requested == 1);
      holder.run(() -> config.offer(new RoutingConfig(2, List.of(), CallerLimits.DEFAULT)));
      holder.run(slots::grant);
      await().pollDelay(Duration.ofMillis(300)).until(() -> true);
      assertEquals(List.of(), holder.endpoint().requests());
    }
  }

  /** Guards against an item that is sent to the service that its route no longer leads to. */
  @Test
  void sendsNoItemToTheServiceOfAFormerVersion() throws IOException {
    ConfigHolder config = JobFixture.config(3);
    try (HolderFixture holder = new HolderFixture()) {
      HeldSlots slots = new HeldSlots(holder);
      holder.endpoint().then(WHOLE, After.KEEP);
      holder.start(config, slots);
      await().until(() -> slots.requested == 1);
      holder.run(() -> config.offer(jobs(2, RouteKind.JOB, "other")));
      holder.run(slots::grant);
      await().until(() -> slots.requested == 2);
      assertEquals("other", slots.last.service());
      assertTrue(holder.endpoint().requests().isEmpty());
    }
  }

  /** Guards against an item that runs on a route that takes no jobs, below whose prefix it lies. */
  @Test
  void runsNoItemOnARouteOfAnotherKind() throws IOException {
    ConfigHolder config = new ConfigHolder();
    config.offer(jobs(1, RouteKind.STREAM, "engine"));
    try (HolderFixture holder = new HolderFixture()) {
      HeldSlots slots = new HeldSlots(holder);
      holder.start(config, slots);
      await().pollDelay(Duration.ofMillis(300)).until(() -> true);
      assertEquals(0, slots.requested);
    }
  }

  private static RoutingConfig jobs(long version, RouteKind kind, String service) {
    Route route =
        Route.builder("h", "/jobs/")
            .kind(kind)
            .services(List.of(new ServiceShare(service, 1)))
            .build();
    return new RoutingConfig(version, List.of(route), CallerLimits.DEFAULT);
  }

  /** Slot client that grants the last request when the test says so. */
  private static final class HeldSlots extends UnavailableSlots {

    private volatile int requested;
    private SlotRequest last;
    private Listener listener;

    private HeldSlots(HolderFixture holder) {
      super(holder.loop());
    }

    @Override
    public void acquire(SlotRequest request, Listener receiver) {
      last = request;
      listener = receiver;
      requested++;
    }

    private void grant() {
      listener.onAnswer(JobFixture.granted(last.key()));
    }
  }
}
