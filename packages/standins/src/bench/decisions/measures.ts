import type {Measure} from './measure.js';
import {DecisionTimeMeasure} from './placement/decision_time_measure.js';
import {PlacementMeasure} from './placement/placement_measure.js';

/** Makes every measure of the decisions bench. */
export function makeMeasures(): Measure[] {
  return [new PlacementMeasure(), new DecisionTimeMeasure()];
}
