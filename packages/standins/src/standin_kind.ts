/** Kinds of stand-in that one program runs. */
export enum StandinKind {
  PLATFORM = 'platform',
  ENGINE = 'engine',
  WORKER = 'worker',
}
