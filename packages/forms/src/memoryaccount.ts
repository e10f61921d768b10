/** The part of a memory budget that one holder has taken. */
export type MemoryAccount = {
  /**
   * States how many bytes are held now, in this process and by estimate in the kernel. False if the holder has been
   * evicted.
   */
  hold(processBytes: number, kernelBytes?: number): boolean;
  /**
   * From now on the holder is not evicted, as its request is being served. False, and without effect, if it holds much
   * and those that can't be evicted would hold most of the budget.
   */
  pin(): boolean;
  /** The holder may be evicted, as it may be at first. */
  unpin(): void;
  /** Gives all back. */
  close(): void;
};
