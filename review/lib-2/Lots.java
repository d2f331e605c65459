import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Calls about batch jobs, as a client makes them. */
final class Lots {

  static final String PREFIX = "/pule252/";

  private Lots() {}

  /**
   * An item of a batch job.
   *
   * @param outputTokens greatest number of tokens that the engine may write
   */
  record Item(String id, int outputTokens) {}

  /**
   * What a read from the start has brought.
   *
   * @param status status of the last page
   * @param total number of the job's items; -1 if no page came
   */
  record Results(int status, int total, Map<String, String> states, Map<String, String> texts) {}

  static int submit(Trial trial, Gateway gateway, String id, List<Item> items) {
    StringBuilder list = new StringBuilder();
    for (Item each : items) {
      byte[] body = ("prompt " + each.id() + " ").repeat(20).getBytes(StandardCharsets.UTF_8);
      list.append(list.length() == 0 ? "" : ",")
          .append("{\"Id\":\"" + each.id() + "\",\"Path\":\"" + PREFIX + "3/91c4\",")
          .append("\"Headers\":{\"X-Model\":\"m\",\"X-Token-Counts\":\"350,")
          .append(each.outputTokens() + "\",\"X-Prompt-Prefix\":\"9c2e41:100,")
          .append(each.id() + ":250\"},\"Body\":\"" + Base64.getEncoder().encodeToString(body))
          .append("\",\"Tokens\":" + (350 + each.outputTokens()) + "}");
    }
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Host", Desired.HOST);
    headers.put("X-Request-Id", id);
    headers.put("Content-Type", "application/json");
    byte[] body = ("{\"Items\":[" + list + "]}").getBytes(StandardCharsets.UTF_8);
    Client.Answer answer =
        Client.call(gateway.front(), "POST", PREFIX + "7c41e0", headers, body, 5_000);
    trial.log("client: POST job " + id + " with " + items.size() + " items at " + gateway.name()
        + ": " + answer.status());
    return answer.status();
  }

  /** Reads all results of a job. */
  @SuppressWarnings("unchecked")
  static Results read(Gateway gateway, String id) {
    Map<String, String> states = new LinkedHashMap<>();
    Map<String, String> texts = new LinkedHashMap<>();
    int total = -1;
    while (true) {
      Client.Answer page =
          Client.call(
              gateway.front(),
              "GET",
              "/lots/" + id + "?After=" + states.size(),
              Map.of("Host", Desired.HOST),
              null,
              4_000);
      if (page.status() != 200) {
        return new Results(page.status(), total, states, texts);
      }
      Map<String, Object> fields = Json.object(page.body());
      total = ((Long) fields.get("Total")).intValue();
      List<Object> results = (List<Object>) fields.getOrDefault("Results", new ArrayList<>());
      for (Object each : results) {
        Map<String, Object> result = (Map<String, Object>) each;
        states.put((String) result.get("Id"), (String) result.get("State"));
        texts.put((String) result.get("Id"), (String) result.get("Text"));
      }
      if (results.isEmpty() || states.size() >= total) {
        return new Results(200, total, states, texts);
      }
    }
  }
}
