package io.hawthornlb.standin.engine;

import java.util.List;

/**
 * What an engine has loaded.
 *
 * @param models loaded models, as {@code model} or {@code model@version}
 * @param adapters loaded adapters, written alike
 * @param role the role that it was given
 * @param lastFencing the highest fencing number of an order that it took
 * @param loading models and adapters that are on their way
 */
public record EngineState(
    List<String> models,
    List<String> adapters,
    String role,
    long lastFencing,
    List<String> loading) {}
