/** What the machine allows one process. */
export type MachineLimits = {
  memoryBytes: number;
  /** Open file descriptors. */
  descriptors: number;
};
