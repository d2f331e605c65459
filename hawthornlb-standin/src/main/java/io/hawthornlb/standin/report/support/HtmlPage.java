package io.hawthornlb.standin.report.support;

import java.util.List;

/** Builds an HTML page of headings, tables and images. All texts are escaped. */
final class HtmlPage {

  private static final String HEAD =
      """
      <!doctype html>
      <html lang="en"><head><meta charset="utf-8"><title>%s</title><style>
      body { font-family: sans-serif; margin: 2em; }
      table { border-collapse: collapse; }
      th, td { border: 1px solid #bbb; padding: 2px 8px; text-align: left; }
      </style></head><body><h1>%s</h1>
      """;

  private final StringBuilder html = new StringBuilder();

  HtmlPage(String title) {
    html.append(HEAD.formatted(escape(title), escape(title)));
  }

  void heading(String text) {
    html.append("<h2>").append(escape(text)).append("</h2>\n");
  }

  void text(String text) {
    html.append("<p>").append(escape(text)).append("</p>\n");
  }

  void items(List<String> texts) {
    if (texts.isEmpty()) {
      return;
    }
    html.append("<ul>\n");
    texts.forEach(text -> html.append("<li>").append(escape(text)).append("</li>\n"));
    html.append("</ul>\n");
  }

  void table(List<String> header, List<List<String>> rows) {
    html.append("<table>\n");
    row("th", header);
    rows.forEach(row -> row("td", row));
    html.append("</table>\n");
  }

  void image(String name, String base64) {
    html.append("<p><img alt=\"")
        .append(escape(name))
        .append("\" src=\"data:image/png;base64,")
        .append(base64)
        .append("\"></p>\n");
  }

  String html() {
    return html + "</body></html>\n";
  }

  private void row(String tag, List<String> cells) {
    html.append("<tr>");
    for (String cell : cells) {
      html.append('<').append(tag).append('>').append(escape(cell));
      html.append("</").append(tag).append('>');
    }
    html.append("</tr>\n");
  }

  private static String escape(String text) {
    return text.replace("&", "&amp;")
        .replace("<", "&lt;")
        .replace(">", "&gt;")
        .replace("\"", "&quot;");
  }
}
