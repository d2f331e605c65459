package io.hawthornlb.standin.engine;

import java.util.List;

/**
 * What moves a stream with its context to another engine.
 *
 * @param requestId the id of the request
 * @param model the model that it asked for
 * @param messages its chat
 * @param maxTokens tokens of the whole answer
 * @param generated tokens generated so far
 * @param kv stands for the context in base64
 */
public record KvExport(
    String requestId,
    String model,
    List<ChatMessage> messages,
    int maxTokens,
    int generated,
    String kv) {}
