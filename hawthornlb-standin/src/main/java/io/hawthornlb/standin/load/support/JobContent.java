package io.hawthornlb.standin.load.support;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.hawthornlb.standin.load.JobFlow;
import io.hawthornlb.standin.support.WireJson;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;

/** The items of one job and the expected result of each. */
final class JobContent {

  private static final int IMPOSSIBLE_TOKENS = 100_000_000;

  private final StringBuilder lines = new StringBuilder();
  private final Map<String, String> expected = new HashMap<>();

  private record Item(
      @JsonProperty("custom_id") String customId, String method, String url, ChatBody body) {}

  /** Generates the items at random. The items that can never complete come first. */
  JobContent(JobFlow flow, int job, long seed) {
    SplittableRandom random = Seeds.random(seed, flow.name(), job);
    for (int index = 0; index < flow.items(); index++) {
      boolean impossible = index < flow.impossibleItems();
      String id = "item-" + index;
      String label = flow.name() + "-" + job + "-" + index + "-" + seed;
      ChatContent content = ChatContent.draw(flow.shape(), label, random);
      int tokens = impossible ? IMPOSSIBLE_TOKENS : content.answerTokens();
      ChatBody body = new ChatBody(flow.service(), content.messages(), false, tokens);
      add(new Item(id, "POST", "/v1/chat/completions", body));
      expected.put(id, impossible ? "" : content.expected());
    }
  }

  /** Returns the body of the submission, with one JSON item per line. */
  String lines() {
    return lines.toString();
  }

  /** Returns the expected answers by item id; blank for an item that must fail. */
  Map<String, String> expected() {
    return expected;
  }

  private void add(Item item) {
    lines.append(new String(WireJson.write(item), StandardCharsets.UTF_8)).append('\n');
  }
}
