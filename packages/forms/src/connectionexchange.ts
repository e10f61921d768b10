/** One request on a connection and its answer, as the table of connections accounts for them. */
export type ConnectionExchange = {
  /** States how many bytes of the request's body are held. False if the connection has been closed for its memory. */
  holdBody(bytes: number): boolean;
  /** States that bytes of the answer were written. False if the connection has been closed for its memory. */
  answerGrew(): boolean;
  /**
   * The request is in service from now on, so that its connection is not closed to make room for another. False if it
   * can't be, as it holds much and requests in service hold most of the memory: it is to be refused.
   */
  beginService(): boolean;
  endService(): void;
};
