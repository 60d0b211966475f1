package org.hickorycleat.model.manifest;

import org.hickorycleat.model.identifier.TeamName;
import org.hickorycleat.model.task.Resources;

/**
 * A team of the manifest.
 *
 * @param name name of the team
 * @param weight relative share of requests under overload, at least 1
 * @param quota maximum resources that its batch tasks may hold at once
 */
public record TeamSpecification(TeamName name, int weight, Resources quota) {}
