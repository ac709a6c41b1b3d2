// Command load is not implemented yet.
package main

func main() {}
