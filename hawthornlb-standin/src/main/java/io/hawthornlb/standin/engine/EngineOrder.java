package io.hawthornlb.standin.engine;

import org.jspecify.annotations.Nullable;

/**
 * The body of {@code POST /v1/orders}.
 *
 * @param fencing the fencing number of the planner that sends the order; a higher number is newer
 * @param action {@code load-model}, {@code load-adapter}, {@code unload-model} or {@code set-role}
 * @param model the model or adapter that the action applies to
 * @param version the version of the model or adapter
 * @param role the new role of the engine, for {@code set-role}
 */
public record EngineOrder(
    long fencing,
    @Nullable String action,
    @Nullable String model,
    @Nullable String version,
    @Nullable String role) {}
