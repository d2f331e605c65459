package io.hawthornlb.standin.engine;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The body of a chat completion request.
 *
 * @param model the name of a model or service
 * @param messages the messages of the conversation so far
 * @param stream whether the engine streams the answer token by token
 * @param maxTokens the number of tokens to generate; if absent, the engine chooses the number
 */
public record ChatRequest(
    @Nullable String model,
    @Nullable List<ChatMessage> messages,
    boolean stream,
    @JsonProperty("max_tokens") @Nullable Integer maxTokens) {}
