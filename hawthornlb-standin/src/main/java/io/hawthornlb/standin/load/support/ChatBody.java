package io.hawthornlb.standin.load.support;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.hawthornlb.standin.engine.ChatMessage;
import java.util.List;

/** The request body of a chat completion. */
record ChatBody(
    String model,
    List<ChatMessage> messages,
    boolean stream,
    @JsonProperty("max_tokens") int maxTokens) {}
