package io.hawthornlb.app.entry;

import io.hawthornlb.net.platform.InstanceList;
import io.hawthornlb.net.platform.InstanceListClient;
import java.time.Duration;
import java.util.function.Consumer;

/** Polls the platform for the list of instances and passes each list to the decision loop. */
public final class InstanceListPoller {

  private static final System.Logger LOG = System.getLogger(InstanceListPoller.class.getName());

  private final DecisionLoop loop;
  private final InstanceListClient client;
  private final Consumer<InstanceList> consumer;
  private final Duration pause;
  private boolean reachable = true;

  /** Creates a poller that waits for {@code pause} between an answer and the next request. */
  public InstanceListPoller(
      DecisionLoop loop,
      InstanceListClient client,
      Consumer<InstanceList> consumer,
      Duration pause) {
    this.loop = loop;
    this.client = client;
    this.consumer = consumer;
    this.pause = pause;
  }

  /** Sends the first request. */
  public void start() {
    client
        .list()
        .whenComplete(
            (list, failure) ->
                loop.execute(
                    () -> {
                      if (failure == null) {
                        consumer.accept(list);
                      }
                      noteReachable(failure == null);
                      loop.after(pause, this::start);
                    }));
  }

  private void noteReachable(boolean now) {
    if (now != reachable) {
      LOG.log(
          System.Logger.Level.INFO,
          now
              ? "instances: list is available again"
              : "instances: list is unavailable; using the last known list");
    }
    reachable = now;
  }
}
