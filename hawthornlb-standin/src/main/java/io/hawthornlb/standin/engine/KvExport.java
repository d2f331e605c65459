package io.hawthornlb.standin.engine;

import java.util.List;

/**
 * The exported state of a stream, with which another engine can resume the stream without a
 * prefill.
 *
 * @param requestId the id of the request
 * @param model the model named in the request
 * @param messages the messages of the request
 * @param maxTokens the number of tokens in the complete answer
 * @param generated the number of tokens generated so far
 * @param kv a base64 placeholder with the size of the KV cache content
 */
public record KvExport(
    String requestId,
    String model,
    List<ChatMessage> messages,
    int maxTokens,
    int generated,
    String kv) {}
