import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Small JSON reader and writer for the stand-ins. Numbers become Long or Double. */
final class Json {

  private final String text;
  private int at;

  private Json(String text) {
    this.text = text;
  }

  static Object parse(String text) {
    return new Json(text).value();
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> object(String text) {
    return (Map<String, Object>) parse(text);
  }

  static String quote(String text) {
    StringBuilder out = new StringBuilder("\"");
    for (char each : text.toCharArray()) {
      switch (each) {
        case '"' -> out.append("\\\"");
        case '\\' -> out.append("\\\\");
        case '\n' -> out.append("\\n");
        case '\r' -> out.append("\\r");
        case '\t' -> out.append("\\t");
        default -> out.append(each);
      }
    }
    return out.append('"').toString();
  }

  private Object value() {
    skip();
    char next = text.charAt(at);
    if (next == '{') {
      return object();
    }
    if (next == '[') {
      return list();
    }
    if (next == '"') {
      return string();
    }
    int from = at;
    while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) {
      at++;
    }
    String word = text.substring(from, at);
    return switch (word) {
      case "true" -> true;
      case "false" -> false;
      case "null" -> null;
      default -> word.matches("-?\\d+") ? (Object) Long.valueOf(word) : Double.valueOf(word);
    };
  }

  private Map<String, Object> object() {
    Map<String, Object> fields = new LinkedHashMap<>();
    at++;
    skip();
    while (text.charAt(at) != '}') {
      String name = string();
      skip();
      at++;
      fields.put(name, value());
      comma();
    }
    at++;
    return fields;
  }

  private List<Object> list() {
    List<Object> items = new ArrayList<>();
    at++;
    skip();
    while (text.charAt(at) != ']') {
      items.add(value());
      comma();
    }
    at++;
    return items;
  }

  private void comma() {
    skip();
    if (text.charAt(at) == ',') {
      at++;
    }
    skip();
  }

  private String string() {
    skip();
    StringBuilder out = new StringBuilder();
    at++;
    while (text.charAt(at) != '"') {
      char next = text.charAt(at++);
      if (next != '\\') {
        out.append(next);
        continue;
      }
      char escaped = text.charAt(at++);
      switch (escaped) {
        case 'n' -> out.append('\n');
        case 'r' -> out.append('\r');
        case 't' -> out.append('\t');
        case 'b' -> out.append('\b');
        case 'f' -> out.append('\f');
        case 'u' -> {
          out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
          at += 4;
        }
        default -> out.append(escaped);
      }
    }
    at++;
    return out.toString();
  }

  private void skip() {
    while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
      at++;
    }
  }
}
