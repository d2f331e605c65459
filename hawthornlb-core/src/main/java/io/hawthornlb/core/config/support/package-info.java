/** Reading of configuration files from the node graph of a YAML document. */
@NullMarked
package io.hawthornlb.core.config.support;

import org.jspecify.annotations.NullMarked;
