package io.hawthornlb.standin.engine;

import org.jspecify.annotations.Nullable;

/**
 * The body of {@code POST /v1/orders}.
 *
 * @param fencing the number of the planner that gives the order; higher is newer
 * @param action what to do
 * @param model the model or adapter
 * @param version its version
 * @param role the role to take
 */
public record EngineOrder(
    long fencing,
    @Nullable String action,
    @Nullable String model,
    @Nullable String version,
    @Nullable String role) {}
