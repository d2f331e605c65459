package io.hawthornlb.standin.report;

/** Which flow, class and workspace a measurement belongs to. */
public record FlowLabel(String name, String requestClass, String workspace) {}
