/**
 * A loopback proxy that disturbs connections.
 * @packageDocumentation
 */
export { resetConnection, startTcpProxy, type LinkState, type TcpProxy } from "./tcp-proxy.js";
