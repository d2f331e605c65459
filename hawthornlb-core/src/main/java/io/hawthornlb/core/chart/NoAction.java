package io.hawthornlb.core.chart;

/** The actions of charts that have none. */
public enum NoAction {}
