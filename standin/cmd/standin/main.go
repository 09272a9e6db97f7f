// Command standin serves the stand-ins of a deployment: the platform with its
// switches below /admin, and one target for each host of a catalogue file.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"greengagedeck/standin/deployment"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func run() error {
	platform := flag.String("platform", "127.0.0.1:7000", "IP:port of the platform")
	file := flag.String("catalogue", "", "catalogue file that names the hosts")
	entry := flag.String("entry-hosts", "", "entry hosts on the list at the start: name=zone=address,...")
	flag.Parse()
	hosts, err := deployment.LoadHosts(*file)
	if err != nil {
		return err
	}
	entryHosts, err := deployment.ParseEntryHosts(*entry)
	if err != nil {
		return err
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	d, err := deployment.Start(deployment.Options{Platform: *platform, Hosts: hosts, EntryHosts: entryHosts})
	if err != nil {
		return err
	}
	defer d.Close()
	fmt.Printf("standin: platform at %s, %d targets\n", d.URL(), len(hosts))
	<-stop
	return nil
}
