/** What happens to the lists during a run. */
export enum Scenario {
  STEADY = 'steady',
  /** One engine leaves halfway. */
  ENGINE_LEAVES = 'engine-leaves',
  /** One engine joins halfway. */
  ENGINE_JOINS = 'engine-joins',
  /** One engine leaves and comes back every 10 s, its cache kept. */
  ENGINE_FLAPS = 'engine-flaps',
  /** That, and one daemon drops out of the others' lists every 10 s. */
  LISTS_DIFFER = 'lists-differ',
}
