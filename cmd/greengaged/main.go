// Command greengaged is the daemon that runs on every entry host.
package main

func main() {}
