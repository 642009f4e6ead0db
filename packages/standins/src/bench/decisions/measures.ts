import {CustomerLimitMeasure} from './limits/customer_limit_measure.js';
import {HeadOfLineMeasure} from './limits/head_of_line_measure.js';
import {SurgeMeasure} from './limits/surge_measure.js';
import type {Measure} from './measure.js';
import {DecisionTimeMeasure} from './placement/decision_time_measure.js';
import {PlacementMeasure} from './placement/placement_measure.js';

/** Makes every measure of the decisions bench. */
export function makeMeasures(): Measure[] {
  return [
    new PlacementMeasure(),
    new DecisionTimeMeasure(),
    new SurgeMeasure(),
    new HeadOfLineMeasure(),
    new CustomerLimitMeasure(),
  ];
}
