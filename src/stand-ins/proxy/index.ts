/**
 * A loopback proxy that injects connection faults.
 * @packageDocumentation
 */
export { resetConnection, startTcpProxy, type LinkState, type TcpProxy } from "./tcp-proxy.js";
