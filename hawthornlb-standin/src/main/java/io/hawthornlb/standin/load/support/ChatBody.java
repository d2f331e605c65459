package io.hawthornlb.standin.load.support;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.hawthornlb.standin.engine.ChatMessage;
import java.util.List;

/** The body of a chat completion as callers send it. */
record ChatBody(
    String model,
    List<ChatMessage> messages,
    boolean stream,
    @JsonProperty("max_tokens") int maxTokens) {}
