package io.hawthornlb.standin.report;

/** The flow, request class and workspace that a measurement belongs to. */
public record FlowLabel(String name, String requestClass, String workspace) {}
