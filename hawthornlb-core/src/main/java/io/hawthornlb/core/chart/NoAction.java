package io.hawthornlb.core.chart;

/** Action type of charts without actions. */
public enum NoAction {}
