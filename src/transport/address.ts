/** Parses socket addresses. */

/** The host and port of a socket address. */
export interface SocketAddress {
  readonly host: string;
  readonly port: number;
}

/** Splits `HOST:PORT`; the host may itself contain colons. */
export const parseAddress = (address: string): SocketAddress => {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
};
