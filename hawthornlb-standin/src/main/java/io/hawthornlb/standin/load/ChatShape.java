package io.hawthornlb.standin.load;

import com.fasterxml.jackson.databind.annotation.JsonDeserialize;
import com.fasterxml.jackson.databind.annotation.JsonPOJOBuilder;
import io.hawthornlb.standin.support.SettingsChecks;

/**
 * The sizes and the variety of the chats of a flow.
 *
 * @param prefixTokens the length in tokens of the first message, which many requests have in common
 * @param prefixes the number of different first messages
 * @param promptTokensMin the minimum number of tokens of the second message
 * @param promptTokensMax the maximum number of tokens of the second message
 * @param answerTokensMin the minimum number of tokens of the answer
 * @param answerTokensMax the maximum number of tokens of the answer
 * @param marker a text in each request that the conditions of injected faults can match
 */
@JsonDeserialize(builder = ChatShape.Builder.class)
public record ChatShape(
    int prefixTokens,
    int prefixes,
    int promptTokensMin,
    int promptTokensMax,
    int answerTokensMin,
    int answerTokensMax,
    String marker) {

  /** Validates the components. */
  public ChatShape {
    SettingsChecks.notNegative(prefixTokens, "prefixTokens");
    SettingsChecks.positive(prefixes, "prefixes");
    SettingsChecks.positive(promptTokensMin, "promptTokensMin");
    SettingsChecks.isTrue(
        promptTokensMax >= promptTokensMin, "promptTokensMax must not be below promptTokensMin");
    SettingsChecks.positive(answerTokensMin, "answerTokensMin");
    SettingsChecks.isTrue(
        answerTokensMax >= answerTokensMin, "answerTokensMax must not be below answerTokensMin");
  }

  /** Returns a builder that holds the default values. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builder for {@link ChatShape}. */
  @JsonPOJOBuilder(withPrefix = "")
  public static final class Builder {

    private int prefixTokens = 200;
    private int prefixes = 4;
    private int promptTokensMin = 50;
    private int promptTokensMax = 200;
    private int answerTokensMin = 20;
    private int answerTokensMax = 80;
    private String marker = "";

    private Builder() {}

    /** Sets the length in tokens of the first message; 200 by default. */
    public Builder prefixTokens(int value) {
      prefixTokens = value;
      return this;
    }

    /** Sets the number of different first messages; 4 by default. */
    public Builder prefixes(int value) {
      prefixes = value;
      return this;
    }

    /** Sets the minimum number of tokens of the second message; 50 by default. */
    public Builder promptTokensMin(int value) {
      promptTokensMin = value;
      return this;
    }

    /** Sets the maximum number of tokens of the second message; 200 by default. */
    public Builder promptTokensMax(int value) {
      promptTokensMax = value;
      return this;
    }

    /** Sets the minimum number of tokens of the answer; 20 by default. */
    public Builder answerTokensMin(int value) {
      answerTokensMin = value;
      return this;
    }

    /** Sets the maximum number of tokens of the answer; 80 by default. */
    public Builder answerTokensMax(int value) {
      answerTokensMax = value;
      return this;
    }

    /** Sets a text that each request contains; blank by default. */
    public Builder marker(String value) {
      marker = value;
      return this;
    }

    /** Returns a validated shape. */
    public ChatShape build() {
      return new ChatShape(
          prefixTokens,
          prefixes,
          promptTokensMin,
          promptTokensMax,
          answerTokensMin,
          answerTokensMax,
          marker);
    }
  }
}
