package io.hawthornlb.standin.load;

import com.fasterxml.jackson.databind.annotation.JsonDeserialize;
import com.fasterxml.jackson.databind.annotation.JsonPOJOBuilder;
import io.hawthornlb.standin.support.SettingsChecks;

/**
 * What the chats of a flow look like.
 *
 * @param prefixTokens the tokens of the first message, which requests share
 * @param prefixes how many first messages there are
 * @param promptTokensMin the fewest tokens of the second message
 * @param promptTokensMax the most tokens of the second message
 * @param answerTokensMin the fewest tokens of the answer
 * @param answerTokensMax the most tokens of the answer
 * @param marker a text that stands in each request, for faults to match
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

  /** Checks the values. */
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

  /** Returns a builder with the defaults. */
  public static Builder builder() {
    return new Builder();
  }

  /** Collects the values. */
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

    /** Sets the tokens of the first message; 200 by default. */
    public Builder prefixTokens(int value) {
      prefixTokens = value;
      return this;
    }

    /** Sets how many first messages there are; 4 by default. */
    public Builder prefixes(int value) {
      prefixes = value;
      return this;
    }

    /** Sets the fewest tokens of the second message; 50 by default. */
    public Builder promptTokensMin(int value) {
      promptTokensMin = value;
      return this;
    }

    /** Sets the most tokens of the second message; 200 by default. */
    public Builder promptTokensMax(int value) {
      promptTokensMax = value;
      return this;
    }

    /** Sets the fewest tokens of the answer; 20 by default. */
    public Builder answerTokensMin(int value) {
      answerTokensMin = value;
      return this;
    }

    /** Sets the most tokens of the answer; 80 by default. */
    public Builder answerTokensMax(int value) {
      answerTokensMax = value;
      return this;
    }

    /** Sets a text that stands in each request; blank by default. */
    public Builder marker(String value) {
      marker = value;
      return this;
    }

    /** Returns the checked values. */
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
