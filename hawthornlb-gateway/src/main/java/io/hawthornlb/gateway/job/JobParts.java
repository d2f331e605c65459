package io.hawthornlb.gateway.job;

import io.hawthornlb.gateway.endpoint.EndpointDirectory;
import io.hawthornlb.gateway.event.EventLog;
import io.hawthornlb.gateway.metric.GatewayMetrics;
import io.hawthornlb.gateway.route.ConfigHolder;
import io.hawthornlb.gateway.slot.SlotClient;
import io.hawthornlb.gateway.store.LogStore;
import io.hawthornlb.gateway.wire.EndpointPool;
import io.hawthornlb.gateway.wire.HeaderNames;
import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.ScheduledExecutorService;

/**
 * What running jobs needs.
 *
 * @param config configuration in force
 * @param directory endpoints
 * @param slots hands out slots
 * @param pool connections to endpoints
 * @param names names of headers
 * @param store the log
 * @param resultRetention time for which results stay readable after a job was accepted
 * @param dataCentre where this process stands
 * @param executor the event loop
 * @param clock time
 * @param log decisions
 * @param metrics figures
 */
public record JobParts(
    ConfigHolder config,
    EndpointDirectory directory,
    SlotClient slots,
    EndpointPool pool,
    HeaderNames names,
    LogStore store,
    Duration resultRetention,
    String dataCentre,
    ScheduledExecutorService executor,
    InstantSource clock,
    EventLog log,
    GatewayMetrics metrics) {}
