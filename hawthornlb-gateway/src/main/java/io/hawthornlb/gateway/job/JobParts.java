package io.hawthornlb.gateway.job;

import io.hawthornlb.gateway.crash.CrashGuard;
import io.hawthornlb.gateway.endpoint.EndpointDirectory;
import io.hawthornlb.gateway.event.EventLog;
import io.hawthornlb.gateway.metric.GatewayMetrics;
import io.hawthornlb.gateway.route.ConfigHolder;
import io.hawthornlb.gateway.slot.SchedulingSettings;
import io.hawthornlb.gateway.slot.SlotClient;
import io.hawthornlb.gateway.store.LogFreshness;
import io.hawthornlb.gateway.store.LogStore;
import io.hawthornlb.gateway.wire.EndpointPool;
import io.hawthornlb.gateway.wire.HeaderNames;
import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.ScheduledExecutorService;

/**
 * Collaborators and settings of the classes that run jobs.
 *
 * @param config configuration in force
 * @param configFreshness tells up to which moment the configuration is known to be complete
 * @param directory known endpoints
 * @param slots client that acquires slots
 * @param estimates estimates of the run times of items, shared by all partitions
 * @param crashes keeps items that crash endpoints from reaching further ones
 * @param pool connections to endpoints
 * @param names names of headers
 * @param store log in which jobs are stored
 * @param resultRetention time for which results stay readable after a job was accepted
 * @param dataCentre data centre of this process
 * @param executor event loop on which all of these classes run
 * @param clock source of the current time
 * @param log log of decisions
 * @param metrics metrics of this process
 * @param scheduling determines how items are ordered
 */
public record JobParts(
    ConfigHolder config,
    LogFreshness configFreshness,
    EndpointDirectory directory,
    SlotClient slots,
    ItemEstimates estimates,
    CrashGuard crashes,
    EndpointPool pool,
    HeaderNames names,
    LogStore store,
    Duration resultRetention,
    String dataCentre,
    ScheduledExecutorService executor,
    InstantSource clock,
    EventLog log,
    GatewayMetrics metrics,
    SchedulingSettings scheduling) {}
