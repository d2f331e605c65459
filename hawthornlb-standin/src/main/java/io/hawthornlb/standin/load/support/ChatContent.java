package io.hawthornlb.standin.load.support;

import io.hawthornlb.standin.engine.AnswerText;
import io.hawthornlb.standin.engine.ChatMessage;
import io.hawthornlb.standin.engine.Prompt;
import io.hawthornlb.standin.load.ChatShape;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The content of one chat request and its expected answer.
 *
 * @param messages the messages of the request
 * @param answerTokens the number of tokens of the answer
 */
public record ChatContent(List<ChatMessage> messages, int answerTokens) {

  private static final int CHARACTERS_PER_TOKEN = 4;
  private static final String FILLER = "the quick check of one bay and the next shift, ";

  /** Generates a chat at random. The label makes the chat different from all others. */
  static ChatContent draw(ChatShape shape, String label, SplittableRandom random) {
    int prefix = random.nextInt(shape.prefixes());
    int prompt = between(shape.promptTokensMin(), shape.promptTokensMax(), random);
    int answer = between(shape.answerTokensMin(), shape.answerTokensMax(), random);
    String question = label + " " + shape.marker() + " ";
    return new ChatContent(
        List.of(
            new ChatMessage("system", filled("rules " + prefix + " ", shape.prefixTokens())),
            new ChatMessage("user", filled(question, prompt))),
        answer);
  }

  /** Returns the only correct answer. */
  String expected() {
    return AnswerText.whole(Prompt.of(messages).hash(), answerTokens);
  }

  private static int between(int min, int max, SplittableRandom random) {
    return random.nextInt(min, max + 1);
  }

  private static String filled(String start, int tokens) {
    int length = Math.max(start.length(), tokens * CHARACTERS_PER_TOKEN);
    StringBuilder text = new StringBuilder(start);
    while (text.length() < length) {
      text.append(FILLER);
    }
    return text.substring(0, length);
  }
}
