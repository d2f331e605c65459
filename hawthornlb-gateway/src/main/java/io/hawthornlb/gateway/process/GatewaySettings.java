package io.hawthornlb.gateway.process;

import io.hawthornlb.gateway.peer.GatewayInstance;
import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * Settings of a gateway.
 *
 * @param self this process
 * @param front where callers connect
 * @param ready where the balancer asks whether this process takes connections
 * @param metrics where figures are scraped
 * @param stopTime time from the signal to stop until the process is killed
 * @param changeTime time within which a change is to be in force everywhere
 * @param resultRetention time for which results of jobs stay readable
 * @param jobPartitions partitions of the jobs' topic
 */
public record GatewaySettings(
    GatewayInstance self,
    InetSocketAddress front,
    InetSocketAddress ready,
    InetSocketAddress metrics,
    Duration stopTime,
    Duration changeTime,
    Duration resultRetention,
    int jobPartitions) {}
