/** One measured value, printed as a line of JSON. */
export interface Figure {
  readonly measure: string;
  readonly way: string;
  readonly size: string;
  readonly value: number;
  readonly unit: string;
  readonly seed: number;
}
