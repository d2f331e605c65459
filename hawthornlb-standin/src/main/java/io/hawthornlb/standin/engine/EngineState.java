package io.hawthornlb.standin.engine;

import java.util.List;

/**
 * The models, adapters and role of an engine.
 *
 * @param models the loaded models, as {@code model} or {@code model@version}
 * @param adapters the loaded adapters, in the same format
 * @param role the current role of the engine
 * @param lastFencing the highest fencing number received in an order, or -1 before the first
 * @param loading the models and adapters that are being loaded
 */
public record EngineState(
    List<String> models,
    List<String> adapters,
    String role,
    long lastFencing,
    List<String> loading) {}
