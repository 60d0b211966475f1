/** Records of the configuration stream and the rule by which manifests are accepted. */
@NullMarked
package org.hickorycleat.model.configuration;

import org.jspecify.annotations.NullMarked;
