package io.hawthornlb.gateway.process;

import io.hawthornlb.gateway.front.RevocationPolicy;
import io.hawthornlb.gateway.peer.GatewayInstance;
import io.hawthornlb.gateway.slot.SchedulingSettings;
import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * Settings of a gateway.
 *
 * @param self this process
 * @param front address for callers' connections
 * @param ready address at which the load balancer checks whether this process accepts connections
 * @param metrics address at which metrics are scraped
 * @param stopTime time from the stop signal until the process is killed
 * @param changeTime time within which a change must be in force everywhere
 * @param revocation decides whether keys are accepted while the configuration cannot be read
 * @param resultRetention time for which results of jobs stay readable
 * @param jobPartitions number of partitions of the jobs' topic
 * @param scheduling determines how slots are scheduled
 */
public record GatewaySettings(
    GatewayInstance self,
    InetSocketAddress front,
    InetSocketAddress ready,
    InetSocketAddress metrics,
    Duration stopTime,
    Duration changeTime,
    RevocationPolicy revocation,
    Duration resultRetention,
    int jobPartitions,
    SchedulingSettings scheduling) {

  /** Creates settings of a deployment that asks for no particular scheduling. */
  public GatewaySettings(
      GatewayInstance self,
      InetSocketAddress front,
      InetSocketAddress ready,
      InetSocketAddress metrics,
      Duration stopTime,
      Duration changeTime,
      RevocationPolicy revocation,
      Duration resultRetention,
      int jobPartitions) {
    this(
        self,
        front,
        ready,
        metrics,
        stopTime,
        changeTime,
        revocation,
        resultRetention,
        jobPartitions,
        SchedulingSettings.DEFAULT);
  }
}
